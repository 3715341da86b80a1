/**
 * Reading of events shared by many routers: who reads which source, in which form it is passed on, and what
 * of it is new to a receiver. No I/O, no clock, no threads.
 */
package burlarch.router.prefixcache;
