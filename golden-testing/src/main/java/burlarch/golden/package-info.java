/**
 * Golden files: what an earlier release wrote, kept under {@code src/test/resources/golden} of the module that owns
 * the format. A test reads each file and writes the same again, so that no rename changes what other nodes, disks
 * or operators see. A golden file never changes; a new format gets a new file beside it.
 */
package burlarch.golden;
