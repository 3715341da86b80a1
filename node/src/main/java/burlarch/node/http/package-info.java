/** Parts that the HTTP servers of routers and controllers share. The package has no thread and no global state. */
package burlarch.node.http;
