/**
 * The router's data path. {@link burlarch.router.RouterServer} listens; an Exchange is one request of a
 * client, an Attempt one send of it to a server, a UpstreamCall the same on the wire. What is decided follows
 * from what is known of each attempt: not sent, not run by the server's own word, or possibly run.
 */
package burlarch.router;
