package agent

import _ "hemlockquay/internal/fixedseed"
