import * as lifecycle from "@citronlead/lifecycle";
import * as protocol from "@citronlead/protocol";
import * as testing from "@citronlead/testing";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as chai from "chai";
import * as peers from "../src/peers/transport.js";
import * as routerContexts from "./context.js";

const PORT_OFFSET = 1_500;

describe("messages between routers", () => {
    const scope = new lifecycle.Scope("test");
    const port = testing.testPortBase(PORT_OFFSET);
    const address = (index: number) => `http://127.0.0.31:${port + 1 + index}`;
    const makeSettlement = (chargeId: string): peers.PeerBody => ({
        case: "admission",
        value: { body: { case: "settlement", value: { chargeId, workspace: "guild", slice: 1, usedTokens: 1 } } },
    });
    const receivedMessages: string[][] = [[], []];
    let transports: peers.PeerTransport[];

    before(async () => {
        transports = await Promise.all([0, 1].map(async (index) => {
            const transport = await peers.openPeerTransport(routerContexts.makeRouterContext(scope, index, port));
            transport.onMessage("admission", ({ sender, message }) => {
                const body = message.body.case === "admission" ? message.body.value.body : undefined;
                receivedMessages[index]?.push(`${sender}: ${body?.case === "settlement" ? body.value.chargeId : ""}`);
            });
            return transport;
        }));
    });
    after(() => scope.close());

    async function waitForMessages(index: number, count: number): Promise<readonly string[]> {
        while ((receivedMessages[index]?.length ?? 0) < count) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
        return receivedMessages[index]?.splice(0) ?? [];
    }

    it("arrive in the order in which they were sent, and replies are returned in the response", async () => {
        transports[1]?.onMessage(
            "admission",
            ({ sender }) => transports[1]?.send(sender, address(0), makeSettlement("answer")),
        );
        transports[0]?.send("host-1", address(1), makeSettlement("one"));
        transports[0]?.send("host-1", address(1), makeSettlement("two"));
        chai.expect(await waitForMessages(1, 2)).to.deep.equal(["host-0: one", "host-0: two"]);
        chai.expect(await waitForMessages(0, 2)).to.deep.equal(["host-1: answer", "host-1: answer"]);
    });

    it("can be sent by a connect-es client", async () => {
        const transport = connectNode.createConnectTransport({ baseUrl: address(0), httpVersion: "1.1" });
        const client = connect.createClient(protocol.PeerService, transport);
        const answer = await client.deliver({
            sender: "other",
            senderIncarnation: "1",
            messages: [{ body: makeSettlement("x") }],
        });
        chai.expect(answer.receiverIncarnation).not.to.equal("");
        chai.expect(await waitForMessages(0, 1)).to.deep.equal(["other: x"]);
    });

    it("are rejected when they are malformed or sent to another path", async () => {
        const path = `${address(0)}/${protocol.PeerService.typeName}/Deliver`;
        const headers = { "content-type": "application/proto" };
        const malformed = await fetch(path, { method: "POST", headers, body: "\xff\xff not a message" });
        const wrongPath = await fetch(`${address(0)}/other`, { method: "POST", headers, body: "" });
        chai.expect([malformed.status, wrongPath.status]).to.deep.equal([400, 404]);
    });
});
