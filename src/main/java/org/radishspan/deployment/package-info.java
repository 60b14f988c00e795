/**
 * Typed records of what a router reads about its deployment from the platform: settings, configuration, routers and targets.
 */
@NullMarked
package org.radishspan.deployment;

import org.jspecify.annotations.NullMarked;
