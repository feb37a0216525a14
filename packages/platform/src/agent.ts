import * as http from "node:http";
import * as net from "node:net";

/**
 * Makes an agent that keeps connections open between calls and tells of each that it makes.
 *
 * An aborted call must not end the process: when it is aborted in the moment in which its answer is whole, Node takes its
 * listeners off the connection before the connection reports the abort as an error. The call has seen the error by then and
 * the connection is not used again, so a listener that does nothing is enough.
 */
export function makeAgent(onConnection: (socket: net.Socket) => void = () => undefined): http.Agent {
    const agent = new http.Agent({ keepAlive: true });
    const connect = agent.createConnection.bind(agent);
    agent.createConnection = (options, callback) => {
        const connection = connect(options, callback);
        connection?.on("error", () => undefined);
        if (connection instanceof net.Socket) {
            onConnection(connection);
        }
        return connection;
    };
    return agent;
}
