/** Charges of answered requests: batched appends to the log, and totals without counting a request twice. */
package org.masticpaddle.billing;
