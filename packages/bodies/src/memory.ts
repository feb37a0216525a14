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

/** Memory that something takes whose size changes. */
export class ChangingSize {
    private bytes = 0;

    constructor(private readonly memory: Memory | undefined) {}

    /** Replaces the size. Returns false, and keeps the former one, if there is less memory. */
    trySet(bytes: number): boolean {
        const added = bytes - this.bytes;
        if (added > 0 && this.memory?.tryTake(added) === false) {
            return false;
        }
        if (added < 0) {
            this.memory?.release(-added);
        }
        this.bytes = bytes;
        return true;
    }
}
