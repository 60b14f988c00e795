/**
 * A complete fleet in one process on loopback ports, to try out radishspan and to check an installation.
 */
@NullMarked
package org.radishspan.demo;

import org.jspecify.annotations.NullMarked;
