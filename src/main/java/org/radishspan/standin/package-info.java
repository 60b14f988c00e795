/**
 * Small replacements (stand-ins) for the platform, engines and services, for the demo, trials and tests.
 */
@NullMarked
package org.radishspan.standin;

import org.jspecify.annotations.NullMarked;
