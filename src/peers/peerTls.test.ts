import assert from "node:assert/strict";
import { mkdtempSync, rmSync, utimesSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { createSilentLogger } from "../common/logging.js";
import { Metrics } from "../common/metrics.js";
import { TlsSettings } from "../config/types.js";
import { CertificateKeyPair, createAuthority, createNodeCertificate } from "../keys/certificates.js";
import { ConnectPeerLink } from "./connectPeerLink.js";
import { PeerServer } from "./peerServer.js";
import { TlsMaterial } from "./tlsMaterial.js";
import { PeerHandler } from "./types.js";

const directory = mkdtempSync(join(tmpdir(), "corianderward-tls-"));
after(() => rmSync(directory, { recursive: true, force: true }));

const handler = { describeRequest: () => "{}" } as unknown as PeerHandler;

function writeKeys(name: string, authority: CertificateKeyPair, files: CertificateKeyPair): TlsSettings {
    const settings = {
        certificateFile: join(directory, `${name}.pem`),
        keyFile: join(directory, `${name}-key.pem`),
        authorityFile: join(directory, `${name}-authority.pem`),
    };
    writeFileSync(settings.certificateFile, files.certificate);
    writeFileSync(settings.keyFile, files.key);
    writeFileSync(settings.authorityFile, authority.certificate);
    return settings;
}

test("peers of one certificate authority connect, a peer without a valid certificate is rejected, and renewed certificates apply without a restart", async () => {
    const now = Date.now();
    const authority = createAuthority("site", 10, now);
    const foreignAuthority = createAuthority("stranger", 10, now);
    const serverSettings = writeKeys("server", authority, createNodeCertificate(authority, "server", 5, now));
    const serverTls = TlsMaterial.create(serverSettings, createSilentLogger());
    const server = PeerServer.create(handler, serverTls);
    const address = await server.start({ host: "127.0.0.1", port: 0 });
    const openLink = (name: string, signer: CertificateKeyPair) => {
        const settings = writeKeys(name, authority, createNodeCertificate(signer, name, 5, now));
        const material = TlsMaterial.create(settings, createSilentLogger());
        return { material, settings, link: ConnectPeerLink.create(material, Metrics.create()) };
    };
    const trusted = openLink("known", authority);
    const untrusted = openLink("unknown", foreignAuthority);
    const plaintextLink = ConnectPeerLink.create(undefined, Metrics.create());
    assert.equal((await trusted.link.describeRequest(address, "x")).ok, true);
    assert.equal((await untrusted.link.describeRequest(address, "x")).ok, false, "a certificate of another authority");
    assert.equal((await plaintextLink.describeRequest(address, "x")).ok, false, "no certificate");

    // The site replaces its authority: both sides reload their files, and certificates of the old authority are rejected from then on.
    const renewed = createAuthority("site-2", 10, now);
    writeKeys("server", renewed, createNodeCertificate(renewed, "server", 5, now));
    const later = new Date(now + 60_000);
    Object.values(serverSettings).forEach(file => utimesSync(file, later, later));
    serverTls.checkFiles();
    trusted.link.stop();
    assert.equal((await trusted.link.describeRequest(address, "x")).ok, false, "the old authority is not trusted any more");
    writeKeys("known", renewed, createNodeCertificate(renewed, "known", 5, now));
    Object.values(trusted.settings).forEach(file => utimesSync(file, later, later));
    trusted.material.checkFiles();
    assert.equal((await trusted.link.describeRequest(address, "x")).ok, true, "the new certificate is in use without a restart");
    trusted.link.stop();
    untrusted.link.stop();
    plaintextLink.stop();
    [serverTls, trusted.material, untrusted.material].forEach(material => material.stop());
    await server.stop();
});

// Guards against a stop that waits for good for a peer whose connection is still being established.
test("a server stops while a connection has not finished its handshake", async () => {
    const now = Date.now();
    const authority = createAuthority("site", 10, now);
    const tls = TlsMaterial.create(
        writeKeys("stopping", authority, createNodeCertificate(authority, "stopping", 5, now)),
        createSilentLogger(),
    );
    const server = PeerServer.create(handler, tls);
    const socket = connect(await server.start({ host: "127.0.0.1", port: 0 }));
    const closed = new Promise(resolve => socket.once("close", resolve));
    await new Promise<void>(resolve => socket.once("connect", () => setImmediate(resolve)));
    await Promise.all([server.stop(), closed]);
    tls.stop();
});
