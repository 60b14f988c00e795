/**
 * The router, assembled from its tables, systems and ports; its settings, operator API and metrics; and its process.
 */
@NullMarked
package org.radishspan.router;

import org.jspecify.annotations.NullMarked;
