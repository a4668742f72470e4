import forge from "node-forge";
import { generateKeyPairSync, randomBytes, X509Certificate } from "node:crypto";
import { describeError } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";

const keyBits = 2_048;
const serialBytes = 16;
const millisecondsPerDay = 86_400_000;
/** Certificates are valid from a little earlier, since clocks differ, in milliseconds. */
const earlyMilliseconds = 300_000;

/** A certificate and its private key, in PEM. */
export interface KeyPairFiles {
    readonly certificate: string;
    readonly key: string;
}

/** What a certificate says. */
export interface CertificateReport {
    readonly subject: string;
    readonly issuer: string;
    /** Unix milliseconds. */
    readonly validUntil: number;
    readonly isAuthority: boolean;
}

/** Creates the authority that signs the certificates of a site's nodes. */
export function createAuthority(name: string, days: number, now: number): KeyPairFiles {
    const keys = createKeys();
    const certificate = createCertificate(keys, name, days, now);
    certificate.setIssuer(certificate.subject.attributes);
    certificate.setExtensions([
        { name: "basicConstraints", cA: true, critical: true },
        { name: "keyUsage", keyCertSign: true, cRLSign: true, critical: true },
    ]);
    certificate.sign(keys.privateKey, forge.md.sha256.create());
    return { certificate: forge.pki.certificateToPem(certificate), key: forge.pki.privateKeyToPem(keys.privateKey) };
}

/** Creates a node's certificate, signed by an authority. */
export function createNodeCertificate(authority: KeyPairFiles, node: string, days: number, now: number): KeyPairFiles {
    const keys = createKeys();
    const issuer = forge.pki.certificateFromPem(authority.certificate);
    const certificate = createCertificate(keys, node, days, now);
    certificate.setIssuer(issuer.subject.attributes);
    certificate.setExtensions([
        { name: "basicConstraints", cA: false },
        { name: "keyUsage", digitalSignature: true, keyEncipherment: true, critical: true },
        { name: "extKeyUsage", serverAuth: true, clientAuth: true },
    ]);
    certificate.sign(forge.pki.privateKeyFromPem(authority.key), forge.md.sha256.create());
    return { certificate: forge.pki.certificateToPem(certificate), key: forge.pki.privateKeyToPem(keys.privateKey) };
}

/** Reads a certificate and checks that an authority signed it and that it is valid now. */
export function checkCertificate(certificate: string, authority: string, now: number): Result<CertificateReport, string> {
    try {
        const parsed = new X509Certificate(certificate);
        const signer = new X509Certificate(authority);
        const report: CertificateReport = {
            subject: parsed.subject,
            issuer: parsed.issuer,
            validUntil: Date.parse(parsed.validTo),
            isAuthority: parsed.ca,
        };
        if (!parsed.verify(signer.publicKey)) {
            return Err("the authority did not sign it");
        }
        if (Date.parse(parsed.validFrom) > now || report.validUntil < now) {
            return Err(`it is valid from ${parsed.validFrom} to ${parsed.validTo}`);
        }
        return Ok(report);
    }
    catch (error) {
        return Err(describeError(error));
    }
}

function createKeys(): forge.pki.rsa.KeyPair {
    const pair = generateKeyPairSync("rsa", {
        modulusLength: keyBits,
        publicKeyEncoding: { type: "spki", format: "pem" },
        privateKeyEncoding: { type: "pkcs8", format: "pem" },
    });
    return {
        publicKey: forge.pki.publicKeyFromPem(pair.publicKey),
        privateKey: forge.pki.privateKeyFromPem(pair.privateKey) as forge.pki.rsa.PrivateKey,
    };
}

function createCertificate(keys: forge.pki.rsa.KeyPair, name: string, days: number, now: number): forge.pki.Certificate {
    const certificate = forge.pki.createCertificate();
    certificate.publicKey = keys.publicKey;
    // A leading zero keeps the serial number positive.
    certificate.serialNumber = `00${randomBytes(serialBytes).toString("hex")}`;
    certificate.validity.notBefore = new Date(now - earlyMilliseconds);
    certificate.validity.notAfter = new Date(now + days * millisecondsPerDay);
    certificate.setSubject([{ name: "commonName", value: name }]);
    return certificate;
}
