/**
 * Check of a configuration before it is sent: mistakes, entries without effect, contradictory limits and the difference to
 * the configuration in force. Nothing here is used by a running gateway.
 */
package org.masticpaddle.routes.check;
