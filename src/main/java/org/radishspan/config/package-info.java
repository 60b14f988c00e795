/**
 * Workspaces, presets and the revision in force.
 */
@NullMarked
package org.radishspan.config;

import org.jspecify.annotations.NullMarked;
