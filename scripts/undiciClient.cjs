// Replaces undici in the bundle by its client and connector alone, so that a starting process does not load fetch,
// caches and WebSocket.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");

Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));

module.exports = {
    buildConnector: require("undici/lib/core/connect.js"),
    Client: require("undici/lib/dispatcher/client.js"),
};
