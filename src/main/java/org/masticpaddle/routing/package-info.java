/**
 * Routing decisions: selection of model, version, cascade and upstream, and binding of sessions. The code does no I/O;
 * time and random source are arguments.
 */
package org.masticpaddle.routing;
