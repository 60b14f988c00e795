/**
 * The command line: the router processes, the commands for operators, the stand-ins, the demo and the benchmarks.
 */
@NullMarked
package org.radishspan.cli;

import org.jspecify.annotations.NullMarked;
