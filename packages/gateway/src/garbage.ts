import * as v8 from "node:v8";
import * as vm from "node:vm";

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

/**
 * Collects garbage each time that so many bytes of bodies and of what arrives have passed. V8 lets dead buffers grow by tens of megabytes, which it
 * does not count towards its heap, before it frees any: more than a small machine has beside what is held.
 */
export class BodyGarbage {
    private bytes = 0;

    constructor(private readonly limitBytes: number, private readonly collect: () => void = collectGarbage) {}

    /** Counts bytes that are not needed any more, or will soon not be. */
    add(bytes: number): void {
        this.bytes += bytes;
        if (this.bytes >= this.limitBytes) {
            this.bytes = 0;
            this.collect();
        }
    }
}
