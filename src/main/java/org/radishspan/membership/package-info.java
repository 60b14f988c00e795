/** The VMs of the deployment and the load of the targets, from the platform's list and from load reports. */
@NullMarked
package org.radishspan.membership;

import org.jspecify.annotations.NullMarked;
