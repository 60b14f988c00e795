/**
 * The platform's object API as ports, shared objects with group commit, and watched kinds of objects on top of them.
 */
@NullMarked
package org.radishspan.store;

import org.jspecify.annotations.NullMarked;
