import forge from "node-forge";
import { generateKeyPairSync, randomBytes, X509Certificate } from "node:crypto";
import { describeError } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";

const keyBits = 2_048;
const serialBytes = 16;
const millisecondsPerDay = 86_400_000;
/** Certificates are valid from this long before their creation, since the clocks of nodes differ. */
const clockSkewToleranceMilliseconds = 300_000;

/** A certificate and its private key, in PEM format. */
export interface CertificateKeyPair {
    readonly certificate: string;
    readonly key: string;
}

/** Fields of a verified certificate. */
export interface CertificateReport {
    readonly subject: string;
    readonly issuer: string;
    /** Unix milliseconds. */
    readonly validUntil: number;
    readonly isAuthority: boolean;
}

/** Creates the certificate authority of a site, valid for `days` from `now` (Unix milliseconds). */
export function createAuthority(name: string, days: number, now: number): CertificateKeyPair {
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

/** Creates a node certificate signed by the authority, valid for `days` from `now` (Unix milliseconds). */
export function createNodeCertificate(authority: CertificateKeyPair, node: string, days: number, now: number): CertificateKeyPair {
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

/** Checks that the authority signed the PEM certificate and that it is valid at `now` (Unix milliseconds). The error is the reason in plain text. */
export function checkCertificate(certificate: string, authority: string, now: number): Result<CertificateReport, string> {
    try {
        const parsed = new X509Certificate(certificate);
        const authorityCertificate = new X509Certificate(authority);
        const report: CertificateReport = {
            subject: parsed.subject,
            issuer: parsed.issuer,
            validUntil: Date.parse(parsed.validTo),
            isAuthority: parsed.ca,
        };
        if (!parsed.verify(authorityCertificate.publicKey)) {
            return Err("the certificate is not signed by the authority");
        }
        if (Date.parse(parsed.validFrom) > now || report.validUntil < now) {
            return Err(`the certificate is only valid from ${parsed.validFrom} to ${parsed.validTo}`);
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
    certificate.validity.notBefore = new Date(now - clockSkewToleranceMilliseconds);
    certificate.validity.notAfter = new Date(now + days * millisecondsPerDay);
    certificate.setSubject([{ name: "commonName", value: name }]);
    return certificate;
}
