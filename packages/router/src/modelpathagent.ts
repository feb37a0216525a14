import type * as http from "node:http";
import type * as stream from "node:stream";

interface ConnectingAgent extends http.Agent {
    createConnection: (...parameters: unknown[]) => stream.Duplex;
}

const guarded = new WeakSet<http.Agent>();

/**
 * Keeps the end of a call from ending the process. When a call is aborted in the moment in which its answer is whole, Node
 * takes its listeners off the connection before the connection reports the abort as an error. The error has been seen by
 * the call by then, and the connection is not used again.
 */
export function guardConnections(agent: http.Agent): http.Agent {
    if (!guarded.has(agent)) {
        guarded.add(agent);
        const connecting = agent as ConnectingAgent;
        const connect = connecting.createConnection;
        connecting.createConnection = (...parameters) => {
            const connection = connect.apply(agent, parameters);
            connection.on("error", () => undefined);
            return connection;
        };
    }
    return agent;
}
