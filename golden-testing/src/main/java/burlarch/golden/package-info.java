/**
 * Support for golden files, which contain output of an earlier release and are kept under
 * {@code src/test/resources/golden} of the module that owns the format. A test reads each file and writes the same
 * content again, so that no rename changes what other nodes, disks or operators see. A golden file never changes; a new
 * format gets an additional file.
 */
package burlarch.golden;
