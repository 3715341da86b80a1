/** What the HTTP servers of routers and controllers share. No thread and no state of its own. */
package burlarch.node.http;
