/**
 * The VMs that are there, joined from the platform's list and from what peers say.
 */
@NullMarked
package org.radishspan.membership;

import org.jspecify.annotations.NullMarked;
