/**
 * Access to the platform's object API: its interfaces, shared objects with group commit, and views of kinds of objects
 * that are kept up to date by watches.
 */
@NullMarked
package org.radishspan.store;

import org.jspecify.annotations.NullMarked;
