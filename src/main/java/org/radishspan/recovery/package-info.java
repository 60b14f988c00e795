/**
 * Recovery after a router process has ended: its shares and claims are closed and its recorded bills are posted.
 */
@NullMarked
package org.radishspan.recovery;

import org.jspecify.annotations.NullMarked;
