/**
 * Loaded into a gateway process before its program: at each SIGUSR2 the time of day jumps, first back, then forward
 * again. It replaces `Date.now` only, which is where libraries get the time of day from.
 */

const jump = 8_000;
const systemNow = Date.now;
let clockChange = 0;

Date.now = () => systemNow() + clockChange;
process.on("SIGUSR2", () => clockChange = clockChange === 0 ? -jump : 0);
