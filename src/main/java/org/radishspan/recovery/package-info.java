/**
 * What is done about a router process that is gone: its shares and claims are closed and its bills found.
 */
@NullMarked
package org.radishspan.recovery;

import org.jspecify.annotations.NullMarked;
