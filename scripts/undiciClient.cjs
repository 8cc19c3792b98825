// The part of undici that the gateway uses, so that a starting process doesn't load fetch, caches and web sockets.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");

Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));

module.exports = { Client: require("undici/lib/dispatcher/client.js") };
