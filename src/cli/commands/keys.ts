import { Args, Flags } from "@oclif/core";
import { existsSync } from "node:fs";
import { join } from "node:path";
import { createDiagnostic, Diagnostics } from "../../common/diagnostics.js";
import { CertificateKeyPair, checkCertificate, createAuthority, createNodeCertificate } from "../../keys/certificates.js";
import { BaseCommand } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";

const authorityCertificate = "authority.pem";
const authorityKey = "authority-key.pem";
const privateMode = 0o600;
const defaultAuthorityDays = 3_650;
const defaultNodeDays = 90;

/** What the commands about keys share. */
abstract class KeysCommand extends BaseCommand {
    /** Writes a certificate and its key; refuses to replace files unless told to. */
    protected writeFiles(
        directory: string,
        certificateName: string,
        keyName: string,
        files: CertificateKeyPair,
        mayReplace: boolean,
    ): void {
        this.createDirectory(directory);
        const certificateFile = join(directory, certificateName);
        if (!mayReplace && existsSync(certificateFile)) {
            this.failWith(ExitCode.Conflict, [createDiagnostic(Diagnostics.File_0_exists, certificateFile)]);
        }
        this.writeOutput(join(directory, keyName), files.key, privateMode);
        this.writeOutput(certificateFile, files.certificate);
        this.log(certificateFile);
    }
}

/** `corianderward keys authority`. */
export class KeysAuthorityCommand extends KeysCommand {
    static override description = "Creates the authority that signs the certificates of a site's nodes. Keep its key off the entry hosts.";
    static override examples = ["<%= config.bin %> keys authority keys/ --name recall-desk"];
    static override args = { directory: Args.string({ description: "directory for the files", required: true }) };
    static override flags = {
        name: Flags.string({ description: "name of the authority", default: "corianderward" }),
        days: Flags.integer({ description: "days of validity", default: defaultAuthorityDays, min: 1 }),
        force: Flags.boolean({ description: "replace an authority that is there" }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(KeysAuthorityCommand);
        this.writeFiles(
            args.directory,
            authorityCertificate,
            authorityKey,
            createAuthority(flags.name, flags.days, Date.now()),
            flags.force,
        );
        return { directory: args.directory };
    }
}

/** `corianderward keys issue`. */
export class KeysIssueCommand extends KeysCommand {
    static override description =
        "Issues a node's certificate. Written over the old files, it is taken up by the daemon without a restart.";
    static override examples = ["<%= config.bin %> keys issue node-1 --authority keys/ --out node-1-keys/"];
    static override args = { node: Args.string({ description: "name of the node", required: true }) };
    static override flags = {
        authority: Flags.string({ description: "directory of the authority", required: true }),
        out: Flags.string({ description: "directory for the node's files", required: true }),
        days: Flags.integer({ description: "days of validity", default: defaultNodeDays, min: 1 }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(KeysIssueCommand);
        const authority = {
            certificate: this.readInput(join(flags.authority, authorityCertificate)),
            key: this.readInput(join(flags.authority, authorityKey)),
        };
        const files = createNodeCertificate(authority, args.node, flags.days, Date.now());
        this.writeFiles(flags.out, "node.pem", "node-key.pem", files, true);
        this.writeOutput(join(flags.out, authorityCertificate), authority.certificate);
        return { node: args.node, directory: flags.out };
    }
}

/** `corianderward keys check`. */
export class KeysCheckCommand extends KeysCommand {
    static override description = "Checks that an authority signed a certificate and that it is valid now.";
    static override examples = ["<%= config.bin %> keys check node-1-keys/node.pem --authority keys/authority.pem"];
    static override args = { certificate: Args.string({ description: "certificate file", required: true }) };
    static override flags = { authority: Flags.string({ description: "certificate file of the authority", required: true }) };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(KeysCheckCommand);
        const checked = checkCertificate(this.readInput(args.certificate), this.readInput(flags.authority), Date.now());
        if (checked.err) {
            this.failWith(ExitCode.Failed, [createDiagnostic(Diagnostics.Certificate_0_is_not_valid_1, args.certificate, checked.val)]);
        }
        this.log(`${checked.val.subject}, signed by ${checked.val.issuer}, valid until ${new Date(checked.val.validUntil).toISOString()}`);
        return checked.val;
    }
}
