/** The connections between routers, the messages on them, and what a router derives from them. */
@NullMarked
package org.radishspan.peer;

import org.jspecify.annotations.NullMarked;
