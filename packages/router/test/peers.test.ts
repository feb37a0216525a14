import * as lifecycle from "@citronlead/lifecycle";
import * as protocol from "@citronlead/protocol";
import * as testing from "@citronlead/testing";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as chai from "chai";
import * as peers from "../src/peers.js";
import * as membershipContexts from "./membershipcontext.js";

const PORT_OFFSET = 1_500;

describe("messages between routers", () => {
    const scope = new lifecycle.Lifecycle("test");
    const port = testing.testPortBase(PORT_OFFSET);
    const address = (index: number) => `http://127.0.0.31:${port + 1 + index}`;
    const charge = (chargeId: string): peers.PeerBody => ({
        case: "admission",
        value: { body: { case: "settlement", value: { chargeId, workspace: "guild", slice: 1, usedTokens: 1 } } },
    });
    const got: string[][] = [[], []];
    let links: peers.Peers[];

    before(async () => {
        links = await Promise.all([0, 1].map(async (index) => {
            const link = await peers.openPeers(membershipContexts.makeContext(scope, index, port));
            link.receive("admission", ({ sender, message }) => {
                const body = message.body.case === "admission" ? message.body.value.body : undefined;
                got[index]?.push(`${sender}: ${body?.case === "settlement" ? body.value.chargeId : ""}`);
            });
            return link;
        }));
    });
    after(() => scope.close());

    async function arrived(index: number, count: number): Promise<readonly string[]> {
        while ((got[index]?.length ?? 0) < count) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
        return got[index]?.splice(0) ?? [];
    }

    it("arrive in the order in which they were sent, and answers go back with the call", async () => {
        links[1]?.receive("admission", ({ sender }) => links[1]?.send(sender, address(0), charge("answer")));
        links[0]?.send("host-1", address(1), charge("one"));
        links[0]?.send("host-1", address(1), charge("two"));
        chai.expect(await arrived(1, 2)).to.deep.equal(["host-0: one", "host-0: two"]);
        chai.expect(await arrived(0, 2)).to.deep.equal(["host-1: answer", "host-1: answer"]);
    });

    it("can be sent by a client of connect-es", async () => {
        const transport = connectNode.createConnectTransport({ baseUrl: address(0), httpVersion: "1.1" });
        const client = connect.createClient(protocol.PeerService, transport);
        const answer = await client.deliver({
            sender: "other",
            senderIncarnation: "1",
            messages: [{ body: charge("x") }],
        });
        chai.expect(answer.receiverIncarnation).not.to.equal("");
        chai.expect(await arrived(0, 1)).to.deep.equal(["other: x"]);
    });

    it("are refused when they are no messages, and do no harm", async () => {
        const path = `${address(0)}/${protocol.PeerService.typeName}/Deliver`;
        const headers = { "content-type": "application/proto" };
        const garbage = await fetch(path, { method: "POST", headers, body: "\xff\xff not a message" });
        const elsewhere = await fetch(`${address(0)}/other`, { method: "POST", headers, body: "" });
        chai.expect([garbage.status, elsewhere.status]).to.deep.equal([400, 404]);
    });
});
