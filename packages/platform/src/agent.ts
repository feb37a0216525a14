import * as http from "node:http";
import * as net from "node:net";

/**
 * Makes an agent that keeps connections open between calls and reports each new connection to `onConnection`.
 *
 * Each connection gets an error listener that does nothing, because an aborted call must not crash the process: if the
 * abort coincides with the end of the response, Node removes its own listeners before the connection emits the abort as
 * an error. The call has received the error by then, and the connection is not reused.
 */
export function makeAgent(onConnection: (socket: net.Socket) => void = () => undefined): http.Agent {
    const agent = new http.Agent({ keepAlive: true });
    const createConnection = agent.createConnection.bind(agent);
    agent.createConnection = (options, callback) => {
        const connection = createConnection(options, callback);
        connection?.on("error", () => undefined);
        if (connection instanceof net.Socket) {
            onConnection(connection);
        }
        return connection;
    };
    return agent;
}
