import * as chai from "chai";
import * as lifecycle from "../src/index.js";

describe("resource scope", () => {
    it("releases in reverse order of registration", async () => {
        const scope = new lifecycle.Scope("test");
        const released: number[] = [];
        scope.defer(() => void released.push(1));
        scope.child("inner").defer(() => void released.push(2));
        scope.defer(() => void released.push(3));
        await scope.close();
        chai.expect(released).to.deep.equal([3, 2, 1]);
    });

    it("releases what is registered after the close when the returned function is called", async () => {
        const scope = new lifecycle.Scope("test");
        await scope.close();
        let released = false;
        await scope.defer(() => {
            released = true;
        })();
        chai.expect(released).to.equal(true);
    });

    it("releases everything even if one release fails", async () => {
        const scope = new lifecycle.Scope("test");
        let released = false;
        scope.defer(() => {
            released = true;
        });
        scope.defer(() => {
            throw new Error("broken");
        });
        let failed = false;
        await scope.close().catch(() => {
            failed = true;
        });
        chai.expect([failed, released]).to.deep.equal([true, true]);
    });

    it("starts no timers once it is closed", async () => {
        const scope = new lifecycle.Scope("test");
        await scope.close();
        let calls = 0;
        lifecycle.after(scope, 1, () => calls++)();
        lifecycle.after(scope, 1, () => calls++);
        lifecycle.every(scope, 1, () => calls++);
        await new Promise((resolve) => setTimeout(resolve, 30));
        chai.expect(calls).to.equal(0);
    });
});
