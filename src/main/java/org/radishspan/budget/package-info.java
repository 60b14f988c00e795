/**
 * Prepaid budgets: the ledger, the shares of it that routers hold, and the settlement of bills.
 */
@NullMarked
package org.radishspan.budget;

import org.jspecify.annotations.NullMarked;
