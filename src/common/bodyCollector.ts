import { bytesPerKibibyte } from "./units.js";

const blockBytes = 16 * bytesPerKibibyte;
/** A part that fills less than this share of the memory behind it is copied: keeping it would keep all of that memory. */
const leastShareOfMemory = 0.25;

/** Blocks of memory that are used again, so that bodies that are given up leave nothing to the garbage collector. */
export class BlockPool {
    private readonly free: Buffer[] = [];

    private constructor(private readonly freeLimit: number) {}

    /** Keeps at most `freeBytes` in blocks that nobody uses. */
    static create(freeBytes: number): BlockPool {
        return new BlockPool(Math.floor(freeBytes / blockBytes));
    }

    takeBlock(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
    }

    release(blocks: readonly Buffer[]): void {
        this.free.push(...blocks.slice(0, Math.max(0, this.freeLimit - this.free.length)));
    }
}

/**
 * Collects the parts of one body. A body of one part is kept as it came; otherwise the parts are copied into blocks, since a part of a few
 * bytes costs many times its size as a buffer of its own.
 */
export class BodyCollector {
    private only: Buffer | undefined;
    private blocks: Buffer[] = [];
    private size = 0;

    private constructor(private readonly pool: BlockPool) {}

    static create(pool: BlockPool): BodyCollector {
        return new BodyCollector(pool);
    }

    getSize(): number {
        return this.size;
    }

    /** Returns by how many bytes a part would raise the memory that the body holds. */
    computeGrowth(part: Buffer): number {
        if (this.size === 0 && isWorthKeeping(part)) {
            return part.length;
        }
        const blocks = Math.ceil((this.size + part.length) / blockBytes);
        return blocks * blockBytes - (this.only === undefined ? this.blocks.length * blockBytes : this.only.length);
    }

    addPart(part: Buffer): void {
        if (this.size === 0 && isWorthKeeping(part)) {
            this.only = part;
            this.size = part.length;
            return;
        }
        const { only } = this;
        if (only !== undefined) {
            this.only = undefined;
            this.size = 0;
            this.copyPart(only);
        }
        this.copyPart(part);
    }

    /** Returns the whole body and gives its blocks back. */
    finish(): Buffer {
        const bytes = this.only ?? Buffer.concat(this.blocks, this.size);
        this.release();
        return bytes;
    }

    /** Drops what has been collected. */
    release(): void {
        this.pool.release(this.blocks);
        this.blocks = [];
        this.only = undefined;
        this.size = 0;
    }

    private copyPart(part: Buffer): void {
        for (let copied = 0; copied < part.length;) {
            const used = this.size % blockBytes;
            if (used === 0) {
                this.blocks.push(this.pool.takeBlock());
            }
            const count = part.copy(this.blocks[this.blocks.length - 1] as Buffer, used, copied);
            copied += count;
            this.size += count;
        }
    }
}

function isWorthKeeping(part: Buffer): boolean {
    return part.length >= part.buffer.byteLength * leastShareOfMemory;
}
