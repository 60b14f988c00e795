/**
 * The configuration that operators change: workspaces, their keys and presets, and the revision in force.
 */
@NullMarked
package org.radishspan.config;

import org.jspecify.annotations.NullMarked;
