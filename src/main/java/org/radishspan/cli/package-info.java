/**
 * The command line: the daemon, the operator commands, stand-ins, demo and benchmarks.
 */
@NullMarked
package org.radishspan.cli;

import org.jspecify.annotations.NullMarked;
