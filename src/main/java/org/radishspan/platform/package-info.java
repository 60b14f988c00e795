/**
 * The adapter to the users' platform: names, formats and calls on the wire, decoded into typed records.
 *
 * <p>Nothing here decides. No other package knows a name that stands on the platform's wire.
 */
@NullMarked
package org.radishspan.platform;

import org.jspecify.annotations.NullMarked;
