/**
 * The adapter to the users' platform. It converts between the wire names, formats and calls of the platform and typed records.
 *
 * <p>This package makes no decisions. No other package contains names of the platform's wire protocol.
 */
@NullMarked
package org.radishspan.platform;

import org.jspecify.annotations.NullMarked;
