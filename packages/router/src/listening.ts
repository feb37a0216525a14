import type * as configuration from "@citronlead/configuration";
import type * as lifecycle from "@citronlead/lifecycle";
import type * as http from "node:http";

/** Starts a server that listens until the scope closes, which also closes its open connections at once. */
export async function listen(
    scope: lifecycle.Scope,
    server: http.Server,
    { address, port }: configuration.RouterSettings["control"],
): Promise<void> {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, resolve);
    });
    scope.defer(() =>
        new Promise((resolve) => {
            server.close(() => resolve());
            server.closeAllConnections();
        })
    );
}
