/** Stand-ins for the platform's services, the engine and a plain service, and the fault-injecting proxy. */
package org.masticpaddle.standin;
