package balance

import _ "hemlockquay/internal/fixedseed"
