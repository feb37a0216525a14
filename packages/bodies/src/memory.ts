/** Memory from which bodies are collected. */
export interface Memory {
    /** Takes memory. Returns false, and takes none, if there is less. */
    readonly tryTake: (bytes: number) => boolean;
    /** Gives back memory that was taken. */
    readonly release: (bytes: number) => void;
}

/** Memory that all bodies of one kind may take together, in bytes. */
export class MemoryBudget implements Memory {
    private takenBytes = 0;

    constructor(private readonly limitBytes: number) {}

    tryTake(bytes: number): boolean {
        if (this.takenBytes + bytes > this.limitBytes) {
            return false;
        }
        this.takenBytes += bytes;
        return true;
    }

    release(bytes: number): void {
        this.takenBytes -= bytes;
    }
}
