/**
 * INI settings with every fault reported at once.
 */
@NullMarked
package org.radishspan.settings;

import org.jspecify.annotations.NullMarked;
