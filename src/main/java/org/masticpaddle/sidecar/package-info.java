/** The sidecar role: the only path to its upstream, which bounds, remembers, runs and answers attempts. */
package org.masticpaddle.sidecar;
