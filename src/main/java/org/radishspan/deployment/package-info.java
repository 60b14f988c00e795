/**
 * What the platform tells a router about its deployment, as typed records: settings, configuration, targets.
 */
@NullMarked
package org.radishspan.deployment;

import org.jspecify.annotations.NullMarked;
