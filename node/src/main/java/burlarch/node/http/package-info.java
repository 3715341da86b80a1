/** What the HTTP servers of routers and controllers have in common. */
package burlarch.node.http;
