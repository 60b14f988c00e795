/**
 * The platform's object API as a port, and shared objects with group commit on top of it.
 */
@NullMarked
package org.radishspan.platform;

import org.jspecify.annotations.NullMarked;
