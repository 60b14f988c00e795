/**
 * Prepaid token budgets: the ledger, the escrow shares of budgets that routers hold, and the settlement of bills.
 */
@NullMarked
package org.radishspan.budget;

import org.jspecify.annotations.NullMarked;
