/**
 * Reading of INI settings files with all faults reported together.
 */
@NullMarked
package org.radishspan.settings;

import org.jspecify.annotations.NullMarked;
