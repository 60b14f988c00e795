/**
 * Routers on virtual time: fakes of platform, links and targets at the ports, with faults, for tests and benchmarks.
 */
@NullMarked
package org.radishspan.virtual;

import org.jspecify.annotations.NullMarked;
