/** A log in segments with snapshots and checksums. */
package burlarch.storage;
