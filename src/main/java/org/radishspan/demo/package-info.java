/**
 * A whole fleet in one process on loopback ports.
 */
@NullMarked
package org.radishspan.demo;

import org.jspecify.annotations.NullMarked;
