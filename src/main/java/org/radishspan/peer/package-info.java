/**
 * Links between routers and what they tell each other.
 */
@NullMarked
package org.radishspan.peer;

import org.jspecify.annotations.NullMarked;
