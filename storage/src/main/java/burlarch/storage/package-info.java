/** A log in segments with snapshots and checksums, and what an acceptor keeps in it. */
package burlarch.storage;
