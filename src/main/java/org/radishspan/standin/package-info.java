/**
 * Small stand-ins for the platform, engines and plain services, for trials and tests.
 */
@NullMarked
package org.radishspan.standin;

import org.jspecify.annotations.NullMarked;
