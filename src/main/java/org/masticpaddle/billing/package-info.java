/** Charges of answered requests: appends them to the log in batches, and computes totals that count a request once. */
package org.masticpaddle.billing;
